//! Stand-in for a back end: slots, connection limit, service time, cold start, drain and faults.
