package pearusher.scale;

import java.util.List;

/**
 * A straight line through points by least squares, and how well it fits: the residual is the root
 * of the mean square distance from the line, as a share of the points' mean.
 */
record LeastSquares(double intercept, double slope, double residual, double explained) {
  /** A line whose residual is larger is not called straight. */
  static final double STRAIGHT = 0.05;

  /** One run at one size. */
  record Point(double x, double y) {}

  static LeastSquares fit(List<Point> points) {
    if (points.stream().mapToDouble(Point::x).distinct().count() < 2) {
      throw new IllegalArgumentException("a line needs two sizes");
    }
    int count = points.size();
    double meanX = points.stream().mapToDouble(Point::x).average().orElseThrow();
    double meanY = points.stream().mapToDouble(Point::y).average().orElseThrow();
    double xx = 0;
    double xy = 0;
    double yy = 0;
    for (Point point : points) {
      xx += (point.x() - meanX) * (point.x() - meanX);
      xy += (point.x() - meanX) * (point.y() - meanY);
      yy += (point.y() - meanY) * (point.y() - meanY);
    }
    double slope = xy / xx;
    double intercept = meanY - slope * meanX;
    double squares = 0;
    for (Point point : points) {
      double off = point.y() - intercept - slope * point.x();
      squares += off * off;
    }
    double residual = Math.sqrt(squares / count) / (meanY == 0 ? 1 : Math.abs(meanY));
    return new LeastSquares(intercept, slope, residual, yy == 0 ? 1 : 1 - squares / yy);
  }

  boolean straight() {
    return residual <= STRAIGHT;
  }

  double at(double x) {
    return intercept + slope * x;
  }
}
