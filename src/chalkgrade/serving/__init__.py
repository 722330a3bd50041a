"""The interfaces of a controller: HTTP for users and workers, netstrings for other controllers.

`node` answers requests without doing any input or output itself, `job_api` implements the job
API for users, and `daemon` runs a node on real sockets and clocks.
"""
