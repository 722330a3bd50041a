"""Measurements in the simulated region, by name: `python3 run.py experiment NAME`.

The daemon never loads this package; its libraries are the extra `experiments`.
"""
