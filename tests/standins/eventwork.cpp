#include "eventwork.h"

namespace CassiaRelay::StandIns {

EventWork::EventWork(boost::asio::io_context &context,
                     Net::HttpExchangePointer exchange,
                     std::string id,
                     std::vector<HttpField> fields,
                     std::string prompt,
                     int lastEvent)
    : Work(context, std::move(exchange), std::move(id))
    , m_fields(std::move(fields))
    , m_prompt(std::move(prompt))
    , m_lastEvent(lastEvent)
{
}

void EventWork::run()
{
    exchange()->startStream({ 200, "text/event-stream", "", m_fields });
    after(m_settings.firstDelay * m_settings.faults.slowFactor, [this] { next(); });
}

int EventWork::tokensSoFar() const
{
    return m_generated;
}

void EventWork::next()
{
    if (m_lastEvent >= m_settings.options.tokens) {
        exchange()->finishStream();
        end(WorkEnd::Finished);
        return;
    }
    const double batchFactor = 1 + m_settings.options.batchSlope * (m_settings.running() - 1);
    after(m_settings.options.tokenTime * (batchFactor * m_settings.faults.slowFactor), [this] {
        ++m_lastEvent;
        ++m_generated;
        exchange()->writeStream("id: " + std::to_string(m_lastEvent) + "\nevent: " + m_settings.options.instance
                                + "\ndata: " + tokenAt(m_prompt, m_lastEvent) + "\n\n");
        next();
    });
}

} // namespace CassiaRelay::StandIns
