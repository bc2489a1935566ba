#pragma once

#include "work.h"

namespace CassiaRelay::StandIns {

/** A stream of numbered events, resumed after the last one that the caller has. */
class EventWork : public Work
{
public:
    EventWork(boost::asio::io_context &context,
              Net::HttpExchangePointer exchange,
              std::string id,
              std::vector<HttpField> fields,
              std::string prompt,
              int lastEvent);

protected:
    void run() override;
    int tokensSoFar() const override;

private:
    void next();

    std::vector<HttpField> m_fields;
    std::string m_prompt;
    int m_lastEvent;
    int m_generated = 0;
};

} // namespace CassiaRelay::StandIns
