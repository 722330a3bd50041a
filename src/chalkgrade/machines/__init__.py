"""Machines, the state that they report, and the choice of machines for tasks.

`fleet` tells which attempts may be present on a machine and which are proven absent.
`placement` holds pure functions that choose the best machine for a task, or the preemptions
that make room at the least loss.
"""
