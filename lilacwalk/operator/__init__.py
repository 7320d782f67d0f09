"""Parser of the operator's file: turns its text into a validated configuration.

`syntax` splits the text into statements, `units` converts single words, `field_schema` derives the
known keywords from the configuration records, `block_reader` validates statements against them,
`schema` defines the top-level blocks, `loader` reads the file, and `check` prints the configuration
that a file gives.
"""
