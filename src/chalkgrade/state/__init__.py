"""Access to the state service, and leader election on top of it.

`client` reads, commits under conditions and watches keys within this node's share of
the service's limits. `leadership` tells whether this node certainly holds the leader
lease, and its fencing token.
"""
