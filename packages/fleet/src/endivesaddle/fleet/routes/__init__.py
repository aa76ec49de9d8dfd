"""Routes: requests forwarded as they came, by host and path, under what operators declared.

``declared`` holds the types, ``declarations`` answers questions about one version,
``known`` is what a router believes now, ``following`` keeps it up to date,
``grants`` and ``keeping`` hold client accounts to their prepaid totals.
"""
