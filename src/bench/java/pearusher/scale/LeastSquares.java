package pearusher.scale;

import java.util.List;

/**
 * A straight line fitted to points by least squares.
 *
 * @param residual the root mean square error divided by the mean figure
 * @param explained the coefficient of determination
 */
record LeastSquares(double intercept, double slope, double residual, double explained) {
  /** The largest residual of points that count as a straight line. */
  static final double MAX_STRAIGHT_RESIDUAL = 0.05;

  /** The figure of one run at one size. */
  record Point(double size, double figure) {}

  static LeastSquares fit(List<Point> points) {
    if (points.stream().mapToDouble(Point::size).distinct().count() < 2) {
      throw new IllegalArgumentException("cannot fit a line to fewer than two different sizes");
    }
    int count = points.size();
    double meanSize = points.stream().mapToDouble(Point::size).average().orElseThrow();
    double meanFigure = points.stream().mapToDouble(Point::figure).average().orElseThrow();
    double sizeSquares = 0;
    double products = 0;
    double figureSquares = 0;
    for (Point point : points) {
      sizeSquares += (point.size() - meanSize) * (point.size() - meanSize);
      products += (point.size() - meanSize) * (point.figure() - meanFigure);
      figureSquares += (point.figure() - meanFigure) * (point.figure() - meanFigure);
    }
    double slope = products / sizeSquares;
    double intercept = meanFigure - slope * meanSize;
    double squaredErrors = 0;
    for (Point point : points) {
      double error = point.figure() - intercept - slope * point.size();
      squaredErrors += error * error;
    }
    double residual =
        Math.sqrt(squaredErrors / count) / (meanFigure == 0 ? 1 : Math.abs(meanFigure));
    return new LeastSquares(
        intercept, slope, residual, figureSquares == 0 ? 1 : 1 - squaredErrors / figureSquares);
  }

  boolean isStraight() {
    return residual <= MAX_STRAIGHT_RESIDUAL;
  }

  double valueAt(double size) {
    return intercept + slope * size;
  }
}
