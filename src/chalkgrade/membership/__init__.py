"""Membership: which controllers are alive, and how certain that is.

`views` derives the state of each controller from evidence and does no I/O, `prober` gathers
the evidence, `registration` keeps this controller's own key in the state service.
A suspicion may be wrong; docs/membership.md lists what may be done because of one.
Leader election is separate: the leader is whoever holds the lease in `state`.
"""
