/** JSON of other programs, read in bounded memory. */
package io.jacinthquay.runtime.json;
