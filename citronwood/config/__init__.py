"""Configuration: model, intents, plans and distribution."""
