"""Where new subsystems join: what a start takes, and what a term is made of.

`gates` is asked by each round whether a task may start; `parts` is how a term starts,
stops and tells its subsystems what happens.
"""
