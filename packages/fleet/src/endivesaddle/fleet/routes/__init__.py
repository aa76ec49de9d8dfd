"""Routes: requests that are forwarded unchanged, by host and path, as operators declare.

``declared`` holds the types, ``declaration_index`` indexes one version of the declarations,
``routing_state`` is what a router knows now, and ``store_watch`` keeps it up to date.
``grants`` and ``allocator`` keep client accounts within their prepaid totals.
"""
