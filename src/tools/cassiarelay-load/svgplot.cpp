#include "svgplot.h"

#include <array>
#include <sstream>

namespace CassiaRelay::Load {

namespace {

constexpr int WIDTH = 800;
constexpr int HEIGHT = 320;
constexpr int MARGIN = 40;
constexpr int LEGEND_LINE = 14;
constexpr std::chrono::milliseconds BUCKET { 500 };
constexpr std::array<const char *, 6> COLOURS { "#1b6ca8", "#c0392b", "#27ae60", "#8e44ad", "#d68910", "#555555" };

struct Bucket {
    int offered = 0;
    int inTime = 0;
};

std::string points(const std::vector<Bucket> &buckets)
{
    std::ostringstream text;
    for (std::size_t index = 0; index < buckets.size(); ++index) {
        if (buckets[index].offered == 0) {
            continue;
        }
        const double part = static_cast<double>(buckets[index].inTime) / buckets[index].offered;
        const double x = MARGIN + (WIDTH - 2.0 * MARGIN) * (static_cast<double>(index) + 0.5) / static_cast<double>(buckets.size());
        text << x << "," << HEIGHT - MARGIN - part * (HEIGHT - 2 * MARGIN) << " ";
    }
    return text.str();
}

void addAxes(std::ostringstream &svg, std::chrono::milliseconds length)
{
    svg << "<path d='M" << MARGIN << " " << MARGIN << " V" << HEIGHT - MARGIN << " H" << WIDTH - MARGIN << "' fill='none' stroke='black'/>"
        << "<text x='4' y='" << MARGIN + 4 << "'>100%</text><text x='14' y='" << HEIGHT - MARGIN << "'>0%</text><text x='"
        << WIDTH - 2 * MARGIN << "' y='" << HEIGHT - MARGIN / 2 << "'>" << std::chrono::duration<double>(length).count() << " s</text>";
}

} // namespace

std::string attainmentPlot(const LoadPlan &plan, const std::vector<CallRecord> &records, std::chrono::milliseconds length)
{
    const auto bucketCount = static_cast<std::size_t>(length / BUCKET + 1);
    std::vector<std::vector<Bucket>> buckets(plan.streams.size(), std::vector<Bucket>(bucketCount));
    for (const CallRecord &record : records) {
        Bucket &bucket = buckets[record.stream][static_cast<std::size_t>(record.at / BUCKET)];
        ++bucket.offered;
        bucket.inTime += record.ending == Ending::InTime ? 1 : 0;
    }
    std::ostringstream svg;
    svg << "<svg xmlns='http://www.w3.org/2000/svg' width='" << WIDTH << "' height='" << HEIGHT
        << "' font-family='sans-serif' font-size='11'><rect width='100%' height='100%' fill='white'/>";
    addAxes(svg, length);
    for (std::size_t index = 0; index < buckets.size(); ++index) {
        const char *colour = COLOURS[index % COLOURS.size()];
        svg << "<polyline fill='none' stroke-width='1.5' stroke='" << colour << "' points='" << points(buckets[index]) << "'/>"
            << "<text x='" << MARGIN + 8 << "' y='" << HEIGHT - MARGIN - 8 - LEGEND_LINE * static_cast<int>(index) << "' fill='" << colour
            << "'>" << plan.streams[index].name << "</text>";
    }
    svg << "</svg>\n";
    return svg.str();
}

} // namespace CassiaRelay::Load
