/** Ids, values, the policy document and result codes. */
package io.jacinthquay.model;
