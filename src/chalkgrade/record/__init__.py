"""The durable record: jobs, attempts, and the commits that store them.

`registry` accepts, aborts and ends jobs and decides what has to be written, `writer` commits it,
`jobs` holds the state of one job, and `oplog` stores the events of its tasks.
"""
