"""The operators' folder: models, merge, storage and spread."""
