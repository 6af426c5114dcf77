/** A small plain service that keeps its own record of what ran. */
package io.jacinthquay.testkit.plain;
