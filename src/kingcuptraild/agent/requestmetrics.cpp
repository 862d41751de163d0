#include "requestmetrics.h"

namespace kingcuptrail {

void RequestMetrics::expose(std::string& out) const
{
    exposeCounters(out, "kingcuptrail_refusals_total", "Requests refused, by reason.", refusals);
    exposeCounters(out, "kingcuptrail_refusals_ran_total", "Requests refused, by whether they ran.", refusedRan);
    exposeCounters(out, "kingcuptrail_requests_total", "Requests by the way they ended.", ends);
    queueTime.expose(out, "kingcuptrail_queue_milliseconds", "Time from arrival of a whole request to its slot.");
    serviceTime.expose(out, "kingcuptrail_service_milliseconds", "Time a request held its slot.");
}

}
