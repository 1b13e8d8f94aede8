/** One measured point of a slope. */
export interface Point {
    readonly size: number;
    readonly value: number;
}

/** A straight line through measured points, and how well it fits. */
export interface LinearFit {
    readonly points: readonly Point[];
    readonly intercept: number;
    /** Rise of the value for one unit of size. */
    readonly slope: number;
    /** Standard error of the slope; 0 where two points leave nothing to estimate it from. */
    readonly slopeError: number;
    /** Root mean square of the distances of the points from the line, in units of the value. */
    readonly residual: number;
}

/** Fits a straight line by ordinary least squares; needs points of at least two sizes. */
export function fitLine(points: readonly Point[]): LinearFit {
    const meanSize = mean(points.map(point => point.size));
    const meanValue = mean(points.map(point => point.value));
    const sizeSquares = sum(points.map(point => (point.size - meanSize) ** 2));
    if (sizeSquares === 0) {
        throw new RangeError("A line needs points of at least two sizes.");
    }
    const slope = sum(points.map(point => (point.size - meanSize) * (point.value - meanValue))) / sizeSquares;
    const intercept = meanValue - slope * meanSize;
    const residualSquares = sum(points.map(point => (point.value - intercept - slope * point.size) ** 2));
    const degreesOfFreedom = points.length - 2;
    const slopeError = degreesOfFreedom > 0 ? Math.sqrt(residualSquares / degreesOfFreedom / sizeSquares) : 0;
    return { points, intercept, slope, slopeError, residual: Math.sqrt(residualSquares / points.length) };
}

/** Fits one figure of measurements against their size. */
export function fitMeasurements<Measurement>(
    measurements: readonly Measurement[],
    sizeOf: (measurement: Measurement) => number,
    valueOf: (measurement: Measurement) => number,
): LinearFit {
    return fitLine(measurements.map(each => ({ size: sizeOf(each), value: valueOf(each) })));
}

function sum(values: readonly number[]): number {
    return values.reduce((total, value) => total + value, 0);
}

function mean(values: readonly number[]): number {
    return sum(values) / values.length;
}
