"""The state and behaviour of a leader during one term, identified by its fencing token.

`term.Term` is the entry point: it reports a job's current state, accepts and aborts jobs and
answers workers' reports.
"""
