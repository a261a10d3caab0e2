package pearusher.scale;

import java.util.List;
import java.util.Locale;

/** An SVG chart of points and the line fitted to them. */
final class SlopeChart {
  private static final int WIDTH = 480;
  private static final int HEIGHT = 320;
  private static final int MARGIN = 56;
  private static final double HEADROOM_FACTOR = 1.05;

  private final String title;
  private final String xName;
  private final List<LeastSquares.Point> points;
  private final LeastSquares line;
  private final double maxX;
  private final double maxY;
  private final double minY;

  SlopeChart(String title, String xName, List<LeastSquares.Point> points, LeastSquares line) {
    this.title = title;
    this.xName = xName;
    this.points = List.copyOf(points);
    this.line = line;
    maxX = points.stream().mapToDouble(LeastSquares.Point::size).max().orElse(1);
    double highest = points.stream().mapToDouble(LeastSquares.Point::figure).max().orElse(1);
    maxY = Math.max(highest, line.valueAt(maxX)) * HEADROOM_FACTOR;
    minY = Math.min(0, points.stream().mapToDouble(LeastSquares.Point::figure).min().orElse(0));
  }

  String toSvg() {
    StringBuilder svg = new StringBuilder();
    svg.append(
        String.format(
            Locale.ROOT,
            "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"%d\" "
                + "height=\"%d\" font-family=\"sans-serif\" font-size=\"11\">%n",
            WIDTH,
            HEIGHT));
    svg.append("<rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n");
    appendText(svg, WIDTH / 2.0, MARGIN / 2.0, "middle", title);
    appendText(svg, WIDTH / 2.0, HEIGHT - 12.0, "middle", xName);
    appendSegment(svg, xPixel(0), yPixel(minY), xPixel(maxX), yPixel(minY), "black");
    appendSegment(svg, xPixel(0), yPixel(minY), xPixel(0), yPixel(maxY), "black");
    appendText(svg, xPixel(0), HEIGHT - MARGIN + 16.0, "middle", "0");
    appendText(svg, xPixel(maxX), HEIGHT - MARGIN + 16.0, "middle", Report.format(maxX));
    appendText(
        svg,
        xPixel(0) - 4,
        yPixel(maxY / HEADROOM_FACTOR) + 4,
        "end",
        Report.format(maxY / HEADROOM_FACTOR));
    appendText(svg, xPixel(0) - 4, yPixel(minY) + 4, "end", Report.format(minY));
    appendSegment(
        svg,
        xPixel(0),
        yPixel(Math.max(minY, line.valueAt(0))),
        xPixel(maxX),
        yPixel(Math.max(minY, line.valueAt(maxX))),
        "gray");
    for (LeastSquares.Point point : points) {
      svg.append(
          String.format(
              Locale.ROOT,
              "<circle cx=\"%.1f\" cy=\"%.1f\" r=\"3\" fill=\"steelblue\"/>%n",
              xPixel(point.size()),
              yPixel(point.figure())));
    }
    return svg.append("</svg>\n").toString();
  }

  private double xPixel(double value) {
    return MARGIN + value / maxX * (WIDTH - 2 * MARGIN);
  }

  private double yPixel(double value) {
    double span = maxY - minY == 0 ? 1 : maxY - minY;
    return HEIGHT - MARGIN - (value - minY) / span * (HEIGHT - 2 * MARGIN);
  }

  private static void appendText(
      StringBuilder svg, double xPixel, double yPixel, String anchor, String text) {
    String escaped = text.replace("&", "&amp;").replace("<", "&lt;").replace(">", "&gt;");
    svg.append(
        String.format(
            Locale.ROOT,
            "<text x=\"%.1f\" y=\"%.1f\" text-anchor=\"%s\">%s</text>%n",
            xPixel,
            yPixel,
            anchor,
            escaped));
  }

  private static void appendSegment(
      StringBuilder svg, double startX, double startY, double endX, double endY, String color) {
    svg.append(
        String.format(
            Locale.ROOT,
            "<line x1=\"%.1f\" y1=\"%.1f\" x2=\"%.1f\" y2=\"%.1f\" stroke=\"%s\"/>%n",
            startX,
            startY,
            endX,
            endY,
            color));
  }
}
