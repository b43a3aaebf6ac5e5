package org.geraniumusher.tool;

import com.google.common.html.HtmlEscapers;

import org.geraniumusher.burn.BurnRates;
import org.geraniumusher.burn.BurnReport;
import org.geraniumusher.burn.BurnReport.RouteBurn;

import java.time.Instant;
import java.util.List;
import java.util.Locale;

/** Renders a burn report as a self-contained HTML page with an SVG plot. Not thread-safe. */
final class BurnReportPage {
    private static final List<String> COLOURS =
            List.of("#0072b2", "#d55e00", "#009e73", "#cc79a7", "#e69f00", "#56b4e9");
    // Sizes are in SVG user units.
    private static final int PLOT_WIDTH = 760;
    private static final int PLOT_HEIGHT = 300;
    private static final int LEFT_MARGIN = 50;
    private static final int BOTTOM_MARGIN = 30;

    /** Keeps the line of the alert rate below the top of the plot. */
    private static final double MIN_AXIS_MAX = BurnRates.ALERT_BURN_RATE * 1.25;

    private final BurnReport mReport;

    /** Burn rate at the top of the y axis. */
    private final double mAxisMax;

    private final StringBuilder mHtml = new StringBuilder();

    private BurnReportPage(BurnReport report) {
        mReport = report;
        mAxisMax =
                report.routes().stream()
                        .flatMap(route -> route.byMinute().stream())
                        .mapToDouble(Double::doubleValue)
                        .reduce(MIN_AXIS_MAX, Math::max);
    }

    /** Returns the page; text from the report is escaped. */
    static String render(BurnReport report) {
        BurnReportPage page = new BurnReportPage(report);
        page.appendHead();
        page.appendPlot();
        page.appendTable();
        return page.mHtml.append("</body></html>\n").toString();
    }

    /** Formats a burn rate with two decimals. */
    static String formatNumber(double value) {
        return String.format(Locale.ROOT, "%.2f", value);
    }

    private void appendHead() {
        mHtml.append("<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\">")
                .append("<title>Service-level burn</title><style>")
                .append("body{font-family:sans-serif;margin:2em}")
                .append("td,th{padding:.3em .8em;text-align:right;border-bottom:1px solid #ccc}")
                .append("td:first-child,th:first-child{text-align:left}")
                .append(".alert{color:#b00020;font-weight:bold}</style></head><body>\n")
                .append("<h1>Service-level burn</h1>\n<p>")
                .append(Instant.ofEpochMilli(mReport.atMillis()))
                .append(". Requests counted by ")
                .append(mReport.sources())
                .append(" daemons, ")
                .append(mReport.untracked())
                .append(" requests not counted. A burn rate of 1 spends the error budget exactly ")
                .append("in its period; an alert means that the rates over 5 min and over 1 h ")
                .append("both reach ")
                .append(BurnRates.ALERT_BURN_RATE)
                .append(".</p>\n");
    }

    private void appendPlot() {
        mHtml.append("<svg viewBox=\"0 0 ")
                .append(PLOT_WIDTH)
                .append(' ')
                .append(PLOT_HEIGHT)
                .append("\" width=\"")
                .append(PLOT_WIDTH)
                .append("\" role=\"img\" aria-label=\"Burn rate by minute\">\n");
        appendGridLine(0, "#888", "0");
        appendGridLine(
                BurnRates.ALERT_BURN_RATE, "#b00020", String.valueOf(BurnRates.ALERT_BURN_RATE));
        appendGridLine(mAxisMax, "#ddd", formatNumber(mAxisMax));
        appendText(LEFT_MARGIN, PLOT_HEIGHT - 8, "-60 min");
        appendText(PLOT_WIDTH - 40, PLOT_HEIGHT - 8, "now");
        for (int i = 0; i < mReport.routes().size(); i++) {
            appendRouteLine(mReport.routes().get(i), COLOURS.get(i % COLOURS.size()));
        }
        mHtml.append("</svg>\n");
    }

    private void appendGridLine(double rate, String colour, String label) {
        String y = formatNumber(toY(rate));
        mHtml.append("<line x1=\"")
                .append(LEFT_MARGIN)
                .append("\" x2=\"")
                .append(PLOT_WIDTH)
                .append("\" y1=\"")
                .append(y)
                .append("\" y2=\"")
                .append(y)
                .append("\" stroke=\"")
                .append(colour)
                .append("\"/>\n");
        appendText(4, toY(rate) + 4, label);
    }

    private void appendText(double x, double y, String text) {
        mHtml.append("<text font-size=\"12\" x=\"")
                .append(formatNumber(x))
                .append("\" y=\"")
                .append(formatNumber(y))
                .append("\">")
                .append(escape(text))
                .append("</text>\n");
    }

    private void appendRouteLine(RouteBurn route, String colour) {
        int count = route.byMinute().size();
        mHtml.append("<polyline fill=\"none\" stroke-width=\"2\" stroke=\"")
                .append(colour)
                .append("\" points=\"");
        for (int i = 0; i < count; i++) {
            double x =
                    LEFT_MARGIN + (PLOT_WIDTH - LEFT_MARGIN) * (double) i / Math.max(1, count - 1);
            mHtml.append(formatNumber(x))
                    .append(',')
                    .append(formatNumber(toY(route.byMinute().get(i))));
            mHtml.append(' ');
        }
        mHtml.append("\"><title>").append(escape(route.route())).append("</title></polyline>\n");
    }

    private double toY(double rate) {
        double usableHeight = PLOT_HEIGHT - BOTTOM_MARGIN - 10;
        return PLOT_HEIGHT - BOTTOM_MARGIN - usableHeight * rate / mAxisMax;
    }

    private void appendTable() {
        mHtml.append("<table><tr><th>Route</th><th>Objective</th><th>Burn 5 min</th>")
                .append("<th>Burn 1 h</th><th>Requests in 1 h</th><th>Bad</th><th>Alert</th></tr>");
        for (int i = 0; i < mReport.routes().size(); i++) {
            appendRow(mReport.routes().get(i), COLOURS.get(i % COLOURS.size()));
        }
        mHtml.append("</table>\n");
    }

    private void appendRow(RouteBurn route, String colour) {
        mHtml.append("\n<tr><td><span style=\"color:")
                .append(colour)
                .append("\">&#9632;</span> ")
                .append(escape(route.route()))
                .append("</td>");
        appendCell(String.valueOf(route.objective()));
        appendCell(formatNumber(route.shortBurn()));
        appendCell(formatNumber(route.longBurn()));
        appendCell(String.valueOf(route.longTotal()));
        appendCell(String.valueOf(route.longTotal() - route.longGood()));
        mHtml.append(route.alert() ? "<td class=\"alert\">yes</td></tr>" : "<td>no</td></tr>");
    }

    private void appendCell(String text) {
        mHtml.append("<td>").append(escape(text)).append("</td>");
    }

    private static String escape(String text) {
        return HtmlEscapers.htmlEscaper().escape(text);
    }
}
