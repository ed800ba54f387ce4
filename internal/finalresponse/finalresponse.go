// Package finalresponse tells which HTTP responses of an endpoint are answers to a request.
package finalresponse

import "net/http"

// maxStatus is the highest status of a response. RFC 9110 defines none outside 100 to 599.
const maxStatus = 599

// Status reports whether a status is that of a final response.
func Status(status int) bool { return status >= http.StatusOK && status <= maxStatus }

// EndsWithConnection reports whether a response states neither a length nor chunks, so that its
// body cannot be told from one that was cut off.
func EndsWithConnection(r *http.Response) bool {
	return r.ContentLength < 0 && len(r.TransferEncoding) == 0
}
