"""The command line `kestrelbend`: serving, the tier's roles, checking files, asking processes, laboratory.

Exit codes: 0 done, 1 failed (a rule broken, a run void, no answer), 2 the words or a file are wrong.  Each
verb imports what it needs only when it runs.
"""
