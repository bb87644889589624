//! Stand-ins for outside systems and a launcher of real processes, for tests only.
