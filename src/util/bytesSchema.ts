import { z } from "zod";

/** Zod schema of a `Uint8Array`. */
export const bytesSchema = z.custom<Uint8Array>(value => value instanceof Uint8Array, "must be bytes");
