package pearusher.scale;

import java.util.List;
import java.util.Locale;

/** A small chart of points and the line through them, as SVG. */
final class SlopeChart {
  private static final int WIDTH = 480;
  private static final int HEIGHT = 320;
  private static final int MARGIN = 56;
  private static final double HEADROOM = 1.05;

  private final String title;
  private final String xName;
  private final List<LeastSquares.Point> points;
  private final LeastSquares line;
  private final double mostX;
  private final double mostY;
  private final double leastY;

  SlopeChart(String title, String xName, List<LeastSquares.Point> points, LeastSquares line) {
    this.title = title;
    this.xName = xName;
    this.points = List.copyOf(points);
    this.line = line;
    mostX = points.stream().mapToDouble(LeastSquares.Point::x).max().orElse(1);
    double highest = points.stream().mapToDouble(LeastSquares.Point::y).max().orElse(1);
    mostY = Math.max(highest, line.at(mostX)) * HEADROOM;
    leastY = Math.min(0, points.stream().mapToDouble(LeastSquares.Point::y).min().orElse(0));
  }

  String svg() {
    StringBuilder out = new StringBuilder();
    out.append(
        String.format(
            Locale.ROOT,
            "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"%d\" "
                + "height=\"%d\" font-family=\"sans-serif\" font-size=\"11\">%n",
            WIDTH,
            HEIGHT));
    out.append("<rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n");
    text(out, WIDTH / 2.0, MARGIN / 2.0, "middle", title);
    text(out, WIDTH / 2.0, HEIGHT - 12.0, "middle", xName);
    segment(out, x(0), y(leastY), x(mostX), y(leastY), "black");
    segment(out, x(0), y(leastY), x(0), y(mostY), "black");
    text(out, x(0), HEIGHT - MARGIN + 16.0, "middle", "0");
    text(out, x(mostX), HEIGHT - MARGIN + 16.0, "middle", Report.text(mostX));
    text(out, x(0) - 4, y(mostY / HEADROOM) + 4, "end", Report.text(mostY / HEADROOM));
    text(out, x(0) - 4, y(leastY) + 4, "end", Report.text(leastY));
    segment(
        out,
        x(0),
        y(Math.max(leastY, line.at(0))),
        x(mostX),
        y(Math.max(leastY, line.at(mostX))),
        "gray");
    for (LeastSquares.Point point : points) {
      out.append(
          String.format(
              Locale.ROOT,
              "<circle cx=\"%.1f\" cy=\"%.1f\" r=\"3\" fill=\"steelblue\"/>%n",
              x(point.x()),
              y(point.y())));
    }
    return out.append("</svg>\n").toString();
  }

  private double x(double value) {
    return MARGIN + value / mostX * (WIDTH - 2 * MARGIN);
  }

  private double y(double value) {
    double span = mostY - leastY == 0 ? 1 : mostY - leastY;
    return HEIGHT - MARGIN - (value - leastY) / span * (HEIGHT - 2 * MARGIN);
  }

  private static void text(StringBuilder out, double x, double y, String anchor, String text) {
    String safe = text.replace("&", "&amp;").replace("<", "&lt;").replace(">", "&gt;");
    out.append(
        String.format(
            Locale.ROOT,
            "<text x=\"%.1f\" y=\"%.1f\" text-anchor=\"%s\">%s</text>%n",
            x,
            y,
            anchor,
            safe));
  }

  private static void segment(
      StringBuilder out, double x1, double y1, double x2, double y2, String colour) {
    out.append(
        String.format(
            Locale.ROOT,
            "<line x1=\"%.1f\" y1=\"%.1f\" x2=\"%.1f\" y2=\"%.1f\" stroke=\"%s\"/>%n",
            x1,
            y1,
            x2,
            y2,
            colour));
  }
}
