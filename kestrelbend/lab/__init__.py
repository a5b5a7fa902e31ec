"""The laboratory: an emulated fleet and its failures, in simulated time and on loopback sockets, and what is
read off it.  An extra (`pip install kestrelbend[lab]`); the serving gateway imports nothing from here."""
