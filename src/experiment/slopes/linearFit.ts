/** A measured value at one size. */
export interface Point {
    readonly size: number;
    readonly value: number;
}

/** A regression line through measured points and the quality of the fit. */
export interface LinearFit {
    readonly points: readonly Point[];
    readonly intercept: number;
    /** Change of the value for each unit of size. */
    readonly slope: number;
    /** Standard error of the slope; 0 for two points, which leave no degrees of freedom to estimate it. */
    readonly slopeError: number;
    /** Root mean square of the residuals, in units of the value. */
    readonly residual: number;
}

/**
 * Fits a straight line by ordinary least squares.
 *
 * @throws RangeError if the points do not have at least two different sizes.
 */
export function fitLine(points: readonly Point[]): LinearFit {
    const meanSize = mean(points.map(point => point.size));
    const meanValue = mean(points.map(point => point.value));
    const sizeSquares = sum(points.map(point => (point.size - meanSize) ** 2));
    if (sizeSquares === 0) {
        throw new RangeError("A linear fit needs points of at least two different sizes.");
    }
    const slope = sum(points.map(point => (point.size - meanSize) * (point.value - meanValue))) / sizeSquares;
    const intercept = meanValue - slope * meanSize;
    const residualSquares = sum(points.map(point => (point.value - intercept - slope * point.size) ** 2));
    const degreesOfFreedom = points.length - 2;
    const slopeError = degreesOfFreedom > 0 ? Math.sqrt(residualSquares / degreesOfFreedom / sizeSquares) : 0;
    return { points, intercept, slope, slopeError, residual: Math.sqrt(residualSquares / points.length) };
}

/** Fits a line to one value of several measurements as a function of their size. */
export function fitMeasurements<Measurement>(
    measurements: readonly Measurement[],
    sizeOf: (measurement: Measurement) => number,
    valueOf: (measurement: Measurement) => number,
): LinearFit {
    return fitLine(measurements.map(measurement => ({ size: sizeOf(measurement), value: valueOf(measurement) })));
}

function sum(values: readonly number[]): number {
    return values.reduce((total, value) => total + value, 0);
}

function mean(values: readonly number[]): number {
    return sum(values) / values.length;
}
