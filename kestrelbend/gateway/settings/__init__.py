"""The settings of one gateway in service: what may be stated, in which units, and all that is wrong at once.

model          the terms that a gateway's decisions rest on, whoever states them
installation   a TOML file's whole: the terms, and where everything is
platform       the platform's JSON and the simulator's wire: the same terms under other names
toml_files     a TOML file into structs, every fault with its line (toml_lines) and key
units          times, sizes, fractions and addresses as people write them
"""
