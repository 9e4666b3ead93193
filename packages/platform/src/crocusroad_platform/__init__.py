"""The adapter to the users' machines: names, formats and calls, no decisions.

`main` is its entry; everything it finds out is handed to the product in the
product's own types.
"""
