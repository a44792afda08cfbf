"""The operators' folder: models, merge, storage and distribution."""
