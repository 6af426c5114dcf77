/** Small fakes at the ports. */
package io.jacinthquay.testkit;
