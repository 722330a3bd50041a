"""Fair sharing of the cluster between queues by the BoPF algorithm, in scheduling rounds.

`queues` estimates what a job needs and by when, `rounds` places what can be placed now, and
`wait_reasons` says why the rest waits. `bopf` holds the steps of the paper as pure functions.
"""
