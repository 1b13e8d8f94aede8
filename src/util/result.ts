/**
 * Re-exports the result types of `ts-results`.
 *
 * `ts-results` is a CommonJS module, so an ES module can access its members only through the default export.
 */
import tsResults from "ts-results";
import type { Err as ErrType, Ok as OkType, Result as ResultType } from "ts-results";

/* eslint-disable @typescript-eslint/naming-convention -- names defined by ts-results */
/** Constructor of a successful result. */
export const Ok = tsResults.Ok;

/** Constructor of a failed result. */
export const Err = tsResults.Err;

/** A successful result that holds a value of type `T`. */
export type Ok<T> = OkType<T>;

/** A failed result that holds an error of type `E`. */
export type Err<E> = ErrType<E>;

/** Either a value of type `T` or an error of type `E`. */
export type Result<T, E> = ResultType<T, E>;
