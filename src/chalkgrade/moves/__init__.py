"""Defragmentation: moves small tasks to other machines so that a large task fits (docs/moves.md).

`planner` is pure and decides what to move where, `integer_program` computes the optimum for
experiments, and `part` carries plans out within a term. Enabled by deploy/moves.xml.
"""
