/** A small model engine that keeps its own record of what ran. */
package io.jacinthquay.testkit.engine;
