/* Observers of the groups; they need decision/failover, which is not there yet. */
#include "simulation.h"

void
observers_init (struct simulation *sim)
{
}

void
observers_finish (struct simulation *sim)
{
}

void
observers_traffic (struct owner *owner, bool answered)
{
}
