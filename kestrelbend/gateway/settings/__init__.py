"""The settings of one gateway: the data model, the readers of its two formats, and validation.

model          the settings that a gateway's decisions depend on, in either format
installation   the contents of a gateway's TOML file: these settings, all addresses, and optional parts
platform       reads the platform's JSON and the simulator's protocol, which use other names for the settings
toml_files     converts a TOML file into structs; reports all errors at once, each with its line and key
toml_lines     finds the lines of the keys
units          parses durations, sizes, fractions and addresses
"""
