/** A fake model engine that records the requests it ran. */
package io.jacinthquay.testkit.engine;
