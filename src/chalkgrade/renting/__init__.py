"""Renting and returning cloud machines to match the waiting work.

`plan` decides what to rent (without I/O), `cloud` makes the calls, `boot_times` predicts when a
machine will report, and `renter` runs the loop that rents missing machines and returns idle ones.
"""
