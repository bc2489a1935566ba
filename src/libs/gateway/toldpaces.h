#pragma once

namespace CassiaRelay::Gateway {

/**
 * What the paces that the targets of a service report are worth, from the responses to one daemon.
 *
 * Addresses targets whose figures are wrong or frozen: the figures count as far as they predict the measured times better than no figure.
 */
class ToldPaces
{
public:
    /** Records the figure of a response. */
    void recordTold(double told);
    /** Records how long work took at a target that had reported a figure, compared with what was to be expected without it. */
    void recordOutcome(double told, double ratio);
    /** Mean figure. */
    double usual() const;
    /** Weight of the figures, from 0 (ignored) to 1. */
    double weight() const;

private:
    double m_usual = 1;
    double m_betterShare = 1; ///< of the outcomes that the figure predicted better than no figure
};

} // namespace CassiaRelay::Gateway
