"""Development programs: stand-ins, benchmarks, demo and build."""
