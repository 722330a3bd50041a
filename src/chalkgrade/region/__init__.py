"""A simulated region in virtual time: state service, cloud, workers, users and faults.

The simulation implements the protocols of the surrounding services and shares no code with the
scheduler's side of them. `world` plays a day, and `rules.Broken` reports the violation of a rule;
each rule is checked at every event that could violate it. The program under test is the whole
`Node`, with simulated HTTP. Tests and experiments use this package; the daemon never imports it.
"""
