"""Whether requests leave their data centre, how many of them, and for which other one.

`plan` solves for the flows of a service between data centres from the rows of service
load (`loads`), `shares` turns the flows into the shares that one data centre sends, and
`search` decides for single requests. `value` is the common scale: what an answer is
worth to its caller, and what its bytes cost.
"""
