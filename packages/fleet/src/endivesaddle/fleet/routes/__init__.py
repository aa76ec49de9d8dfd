"""Routes: requests forwarded as they came, by host and path, under what operators declared.

``declared`` holds the types, ``declarations`` answers questions about one version,
``routing_state`` is what a router knows now, ``store_watch`` keeps it up to date,
``grants`` and ``keeping`` hold client accounts to their prepaid totals.
"""
