"""Extension points for subsystems of the scheduler.

`constraints` decides whether a task may start in a round; `components` is the interface between
a term and its subsystems; `subsystems` lists the optional ones.
"""
