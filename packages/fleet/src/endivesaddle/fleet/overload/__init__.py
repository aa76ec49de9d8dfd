"""Detection of an overloaded router, and what such a router does about it.

``level``, ``rotation``, ``byte_bucket`` and ``closing`` are decisions without I/O; ``overload``
holds their state for one router and runs the ``actions``.  ``traffic`` and ``own_calls`` measure,
and ``monitor`` feeds the measurements into the decisions.
"""
