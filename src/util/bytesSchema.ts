import { z } from "zod";

/** Schema of a byte array. */
export const bytesSchema = z.custom<Uint8Array>(value => value instanceof Uint8Array, "must be bytes");
