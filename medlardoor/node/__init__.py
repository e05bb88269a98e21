"""The process that runs beside one upstream instance."""
