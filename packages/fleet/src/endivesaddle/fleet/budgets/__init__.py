"""Prepaid budgets: ceilings for each data centre, epochs, top-ups.

``holder.BudgetHolder`` is the entry point for a router, ``top_ups`` for operators.
"""
