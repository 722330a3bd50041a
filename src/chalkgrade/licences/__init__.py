"""Counted licences: tasks wait for free seats of their licence pools (docs/licences.md).

`requirements` tells which pools a job needs, `seat_constraint` is the start constraint that
scheduling rounds apply, `checkouts` holds seats at a licence server, and `part` joins them to a
term. Enabled by deploy/licences.xml.
"""
