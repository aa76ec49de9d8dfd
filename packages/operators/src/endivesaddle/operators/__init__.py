"""The operators' language, declarations and command line."""
